comfreyshift_library(http core net json nlohmann_json::nlohmann_json PkgConfig::SOUP PkgConfig::GLIB PkgConfig::CRYPTO)
comfreyshift_tests(http http)
