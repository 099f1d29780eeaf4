comfreyshift_library(inventory core nlohmann_json::nlohmann_json)
comfreyshift_tests(inventory inventory)
