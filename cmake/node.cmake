comfreyshift_library(node core logging inventory config membership dispatch net rpc PkgConfig::GLIB)
comfreyshift_tests(node node)
