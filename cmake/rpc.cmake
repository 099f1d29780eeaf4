comfreyshift_library(rpc core config dispatch PkgConfig::CAPNP PkgConfig::GLIB)
# g++ 12 reports kj::Maybe values of variant type as uninitialized although it never reads them while empty.
target_compile_options(rpc PRIVATE -Wno-maybe-uninitialized)
set_source_files_properties(${CMAKE_SOURCE_DIR}/rpc/peer.capnp.c++ PROPERTIES COMPILE_OPTIONS -w)
comfreyshift_tests(rpc rpc)
if(TARGET rpc_tests)
  target_compile_options(rpc_tests PRIVATE -Wno-maybe-uninitialized)
endif()
