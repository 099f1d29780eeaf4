# Prints one JSON object a line; see bench/membership_bench.cc for its options.
if(EXISTS ${CMAKE_SOURCE_DIR}/bench/membership_bench.cc)
  add_executable(membership_bench ${CMAKE_SOURCE_DIR}/bench/membership_bench.cc)
  target_compile_options(membership_bench PRIVATE -Wall -Wextra -Werror)
  target_link_libraries(membership_bench PRIVATE membership)
endif()
