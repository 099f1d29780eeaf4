add_executable(comfreyshift main/main.cc main/roles.cc main/health_routes.cc)
target_compile_options(comfreyshift PRIVATE -Wall -Wextra -Werror)
target_link_libraries(comfreyshift PRIVATE agent cli entry fleet http logging platform settings)
