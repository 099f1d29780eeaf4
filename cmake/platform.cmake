comfreyshift_library(platform core cli logging jobs fleet http nlohmann_json::nlohmann_json PkgConfig::GLIB)
comfreyshift_tests(platform platform)
