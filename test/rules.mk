demo: deps
	@$(MAKE) --no-print-directory all
	@timeout 115 tools/demo $(B)
