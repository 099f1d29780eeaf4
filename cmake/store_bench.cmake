add_executable(store_bench bench/store_bench.cc)
target_compile_options(store_bench PRIVATE -Wall -Wextra -Werror)
target_link_libraries(store_bench PRIVATE store config)
