comfreyshift_library(fleet core logging jobs link scheduler executor PkgConfig::GLIB)
comfreyshift_tests(fleet fleet)
