comfreyshift_library(node core logging inventory config membership dispatch rpc PkgConfig::GLIB)
comfreyshift_tests(node node)
