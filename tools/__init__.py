"""Developer tools such as demo, benchmarks and soak test; not shipped."""
