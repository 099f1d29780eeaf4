comfreyshift_library(json nlohmann_json::nlohmann_json)
comfreyshift_tests(json json)
