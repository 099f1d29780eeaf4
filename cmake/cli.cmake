comfreyshift_library(cli core http inventory settings nlohmann_json::nlohmann_json)
comfreyshift_tests(cli cli)
