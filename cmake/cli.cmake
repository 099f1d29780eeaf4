comfreyshift_library(cli core settings inventory http json nlohmann_json::nlohmann_json)
comfreyshift_tests(cli cli)
# The option parser's regular expressions are compiled before main, in each file that includes it: a quarter of the
# processor time of a start.
target_compile_definitions(cli PUBLIC CXXOPTS_NO_REGEX=true)
