comfreyshift_library(config core json nlohmann_json::nlohmann_json)
comfreyshift_tests(config config)
