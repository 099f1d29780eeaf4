comfreyshift_library(agent core logging dispatch http node rpc nlohmann_json::nlohmann_json)
comfreyshift_tests(agent agent)
