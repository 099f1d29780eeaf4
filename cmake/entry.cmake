comfreyshift_library(entry core logging dispatch placement http inventory net node rpc store config json nlohmann_json::nlohmann_json)
comfreyshift_tests(entry entry)
