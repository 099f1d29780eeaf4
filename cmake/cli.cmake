comfreyshift_library(cli core settings inventory http json nlohmann_json::nlohmann_json)
comfreyshift_tests(cli cli)
