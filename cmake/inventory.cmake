comfreyshift_library(inventory core config json nlohmann_json::nlohmann_json)
comfreyshift_tests(inventory inventory)
