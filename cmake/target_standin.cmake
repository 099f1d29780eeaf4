add_executable(target_standin tests/standins/target_standin.cc)
target_compile_options(target_standin PRIVATE -Wall -Wextra -Werror)
target_link_libraries(target_standin PRIVATE core PkgConfig::SOUP nlohmann_json::nlohmann_json)
