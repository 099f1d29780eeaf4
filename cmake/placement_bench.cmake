file(GLOB placement_bench_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/placement_bench*.cc)
add_executable(placement_bench ${placement_bench_sources})
target_compile_options(placement_bench PRIVATE -Wall -Wextra -Werror)
target_link_libraries(placement_bench PRIVATE placement nlohmann_json::nlohmann_json Threads::Threads)
