comfreyshift_library(core PkgConfig::XXHASH PkgConfig::CRYPTO)
comfreyshift_tests(core core)
