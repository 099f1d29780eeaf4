add_executable(history_checker tests/processes/history_checker.cc)
target_compile_options(history_checker PRIVATE -Wall -Wextra -Werror)
target_link_libraries(history_checker PRIVATE nlohmann_json::nlohmann_json)
