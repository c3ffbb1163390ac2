"""The application object that owns resources and their clean-up."""
