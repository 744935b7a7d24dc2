"""The configuration document: types, validation, differences and rebasing."""
