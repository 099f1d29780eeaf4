comfreyshift_library(executor core jobs link)
comfreyshift_tests(executor executor)
