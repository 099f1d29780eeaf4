comfreyshift_library(store core config PkgConfig::SOUP PkgConfig::GLIB nlohmann_json::nlohmann_json)
comfreyshift_tests(store store store_standin_server)
