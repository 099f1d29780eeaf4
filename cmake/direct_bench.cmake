add_executable(direct_bench bench/direct_bench.cc)
target_compile_options(direct_bench PRIVATE -Wall -Wextra -Werror)
target_link_libraries(direct_bench PRIVATE core http PkgConfig::GLIB)
