comfreyshift_tests(overload platform emulator)
if(TARGET overload_tests)
  # These tests load the real program, so they run apart from other load.
  target_sources(overload_tests PRIVATE
      tests/platform/platform_fleet.cc
      tests/platform/runner_standin.cc
      tests/standins/fault_proxy.cc
      tests/standins/platform_documents.cc
      tests/standins/role_process.cc
      tests/standins/platform_store_standin.cc
      tests/standins/test_ports.cc)
  target_include_directories(overload_tests PRIVATE ${CMAKE_SOURCE_DIR})
  target_compile_definitions(overload_tests PRIVATE COMFREYSHIFT_PROGRAM="$<TARGET_FILE:comfreyshift>")
  add_dependencies(overload_tests comfreyshift)
  set_tests_properties(overload_tests PROPERTIES RUN_SERIAL TRUE TIMEOUT 1200)
endif()
