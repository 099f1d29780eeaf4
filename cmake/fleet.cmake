comfreyshift_library(fleet core logging jobs net link scheduler executor PkgConfig::GLIB)
comfreyshift_tests(fleet fleet)
