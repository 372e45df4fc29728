"""The front end for AJP13, by which mod_jk and mod_proxy_ajp of Apache forward requests."""
