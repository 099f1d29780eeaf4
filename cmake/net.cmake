comfreyshift_library(net core logging PkgConfig::GLIB)
comfreyshift_tests(net net)
