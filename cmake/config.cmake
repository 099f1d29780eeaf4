comfreyshift_library(config core nlohmann_json::nlohmann_json)
comfreyshift_tests(config config)
