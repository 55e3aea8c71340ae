"""The endpoint list from discovery: watch, HTTP client, catalogue codec, directory of ids."""
