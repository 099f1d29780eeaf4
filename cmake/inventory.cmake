comfreyshift_library(inventory core config nlohmann_json::nlohmann_json)
comfreyshift_tests(inventory inventory)
