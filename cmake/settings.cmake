comfreyshift_library(settings core logging PkgConfig::GLIB)
comfreyshift_tests(settings settings)
