comfreyshift_library(dispatch core inventory json membership placement nlohmann_json::nlohmann_json)
comfreyshift_tests(dispatch dispatch)
