"""A package outside the product, with plug-ins of its own."""
