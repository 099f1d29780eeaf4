comfreyshift_library(logging core PkgConfig::LOG4CPLUS nlohmann_json::nlohmann_json)
comfreyshift_tests(logging logging)
