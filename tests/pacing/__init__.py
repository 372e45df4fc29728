"""Tests of backoff, retry budgets, token buckets and the report schedule."""
