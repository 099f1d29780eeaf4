comfreyshift_library(dispatch core inventory membership placement nlohmann_json::nlohmann_json)
comfreyshift_tests(dispatch dispatch)
