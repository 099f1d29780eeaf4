if(COMFREYSHIFT_TESTS)
  add_executable(soak
      ${CMAKE_SOURCE_DIR}/tools/soak/soak.cc
      ${CMAKE_SOURCE_DIR}/tools/soak/runner_faults.cc
      ${CMAKE_SOURCE_DIR}/tools/soak/world.cc
      ${CMAKE_SOURCE_DIR}/tests/platform/runner_standin.cc
      ${CMAKE_SOURCE_DIR}/tests/standins/fault_proxy.cc
      ${CMAKE_SOURCE_DIR}/tests/standins/platform_documents.cc
      ${CMAKE_SOURCE_DIR}/tests/standins/role_process.cc
      ${CMAKE_SOURCE_DIR}/tests/standins/platform_store_standin.cc)
  target_compile_options(soak PRIVATE -Wall -Wextra -Werror)
  target_compile_definitions(soak PRIVATE COMFREYSHIFT_PROGRAM="$<TARGET_FILE:comfreyshift>")
  target_link_libraries(soak PRIVATE platform emulator)
  add_dependencies(soak comfreyshift)
endif()
