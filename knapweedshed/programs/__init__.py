"""One module per binary: builds the actors, starts and closes them."""
