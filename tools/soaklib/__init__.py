"""The parts of tools/soak.py: stand-ins for the outside world, a seeded plan of trouble, and the rules' checks."""
