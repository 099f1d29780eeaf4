add_executable(scheduler_bench ${CMAKE_SOURCE_DIR}/bench/scheduler_bench.cc)
target_compile_options(scheduler_bench PRIVATE -Wall -Wextra -Werror)
target_link_libraries(scheduler_bench PRIVATE scheduler)
