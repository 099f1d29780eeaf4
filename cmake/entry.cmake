comfreyshift_library(entry core logging dispatch placement http inventory node rpc store config nlohmann_json::nlohmann_json)
comfreyshift_tests(entry entry)
