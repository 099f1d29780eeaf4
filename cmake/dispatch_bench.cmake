add_executable(dispatch_bench ${CMAKE_SOURCE_DIR}/bench/dispatch_bench.cc)
target_compile_options(dispatch_bench PRIVATE -Wall -Wextra -Werror)
target_link_libraries(dispatch_bench PRIVATE dispatch)
