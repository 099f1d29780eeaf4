comfreyshift_library(placement core)
comfreyshift_tests(placement placement)
