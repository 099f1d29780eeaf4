comfreyshift_library(scheduler core jobs link)
comfreyshift_tests(scheduler scheduler)
