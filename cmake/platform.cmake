comfreyshift_library(platform core cli logging jobs json net fleet http nlohmann_json::nlohmann_json PkgConfig::GLIB)
comfreyshift_tests(platform platform emulator)
if(TARGET platform_tests)
  # The process tests run the real program against stand-ins.
  target_sources(platform_tests PRIVATE
      tests/standins/fault_proxy.cc
      tests/standins/platform_documents.cc
      tests/standins/role_process.cc
      tests/standins/platform_store_standin.cc
      tests/standins/test_ports.cc)
  target_include_directories(platform_tests PRIVATE ${CMAKE_SOURCE_DIR})
  target_compile_definitions(platform_tests PRIVATE COMFREYSHIFT_PROGRAM="$<TARGET_FILE:comfreyshift>")
  add_dependencies(platform_tests comfreyshift)
endif()
