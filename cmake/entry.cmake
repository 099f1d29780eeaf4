comfreyshift_library(entry core logging dispatch placement http inventory net node rpc store config nlohmann_json::nlohmann_json)
comfreyshift_tests(entry entry)
