"""Imports mod_jk's workers.properties and Apache's balancer configuration into an operator's file."""
