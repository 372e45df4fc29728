"""AJP13, the protocol of Apache and mod_jk."""
