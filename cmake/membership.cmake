comfreyshift_library(membership core PkgConfig::XXHASH)
comfreyshift_tests(membership membership)
