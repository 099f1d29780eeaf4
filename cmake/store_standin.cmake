# The stand-in of the platform's key-value store, as a library for tests in one process and as a program.
add_library(store_standin_server STATIC
  tests/standins/store_standin.cc tests/standins/store_standin_state.cc)
target_include_directories(store_standin_server PUBLIC ${CMAKE_SOURCE_DIR})
target_compile_options(store_standin_server PRIVATE -Wall -Wextra -Werror)
target_link_libraries(store_standin_server PUBLIC core PkgConfig::SOUP PkgConfig::GLIB nlohmann_json::nlohmann_json)

add_executable(store_standin tests/standins/store_standin_main.cc)
target_compile_options(store_standin PRIVATE -Wall -Wextra -Werror)
target_link_libraries(store_standin PRIVATE store_standin_server)
