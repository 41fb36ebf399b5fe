# Versions of the tools that are built from the module proxy. The two that
# generate code also have a module of their own in tools/protoc.
GOLANGCI_LINT_VERSION := v2.15.0
BUF_VERSION := v1.75.0
