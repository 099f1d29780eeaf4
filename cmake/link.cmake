comfreyshift_library(link core jobs logging net PkgConfig::CAPNP PkgConfig::GLIB)
set_source_files_properties(${CMAKE_SOURCE_DIR}/link/link.capnp.c++ PROPERTIES COMPILE_OPTIONS -w)
comfreyshift_tests(link link)
