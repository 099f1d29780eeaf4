comfreyshift_library(store core config json PkgConfig::SOUP PkgConfig::GLIB nlohmann_json::nlohmann_json)
comfreyshift_tests(store store store_standin_server)
