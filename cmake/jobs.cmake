comfreyshift_library(jobs core)
comfreyshift_tests(jobs jobs)
