"""A browser as an operator uses it: read a form, fill it in, submit."""

from collections.abc import Mapping
from typing import Any

from aiohttp import ClientResponse
from aiohttp.test_utils import TestClient
from bs4 import BeautifulSoup
from bs4 import Tag

Fields = dict[str, str | list[str]]
Typed = Mapping[str, str | list[str]]


class Browser:
    """One operator at one console.

    Attributes:
        client: Holds the cookies.
        page: The page shown.
        status: Its status code.
        headers: Its headers.
        body: Its bytes.
    """

    __slots__ = ('body', 'client', 'headers', 'page', 'status')

    def __init__(self, client: TestClient[Any, Any]) -> None:
        """Starts with an empty page."""
        self.client = client
        self.page = BeautifulSoup('', 'html.parser')
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''

    async def open(self, path: str) -> None:
        """Loads a page."""
        await self.take(await self.client.get(path))

    async def take(self, answer: ClientResponse) -> None:
        """Shows an answer."""
        self.body = await answer.read()
        self.status = answer.status
        self.headers = dict(answer.headers)
        if answer.content_type == 'text/html':
            self.page = BeautifulSoup(self.body, 'html.parser')

    async def sign_in(self, token: str) -> None:
        """Signs in by the form."""
        await self.open('/sign-in')
        await self.press('Sign in', {'token': token})

    async def press(self, label: str, values: Typed | None = None) -> None:
        """Fills in the form of a button and presses it.

        Args:
            label: Text or accessible name of the button.
            values: What is typed or chosen, by field; the rest stays.
        """
        button = self.find_button(label)
        form = self.form_of(label)
        fields = self.read_form(form) | dict(values or {})
        if button.get('name'):
            fields[str(button['name'])] = str(button['value'])
        path = str(button.get('formaction') or form['action'])
        await self.post(path, fields)

    async def post(self, path: str, fields: Typed) -> None:
        """Sends a form."""
        pairs = [
            (name, value)
            for name, given in fields.items()
            for value in (given if isinstance(given, list) else [given])
        ]
        await self.take(await self.client.post(path, data=pairs))

    def find_button(self, label: str) -> Tag:
        """Returns a button by what it says."""
        for button in self.page.find_all('button'):
            name = button.get('aria-label') or button.get_text().strip()
            if name == label:
                return button
        raise AssertionError(f'no button {label!r} in {self.text()}')

    def form_of(self, label: str) -> Tag:
        """Returns the form of a button."""
        form = self.find_button(label).find_parent('form')
        assert form is not None
        return form

    def read_form(self, form: Tag) -> Fields:
        """Returns what a browser would send of a form as it stands."""
        fields: Fields = {}
        for tag in form.find_all(('input', 'select', 'textarea')):
            name = str(tag.get('name') or '')
            if tag.name == 'select':
                options = tag.find_all('option')
                chosen = [o for o in options if o.has_attr('selected')]
                option = (chosen or options)[0]
                value = option.get('value')
                text = option.get_text() if value is None else value
                fields[name] = str(text)
            elif tag.get('type') not in ('radio', 'checkbox'):
                fields[name] = str(tag.get('value') or '')
            elif tag.has_attr('checked'):
                fields[name] = str(tag['value'])
        return fields

    def field(self, name: str) -> str:
        """Returns what stands in one field of the page."""
        for form in self.page.find_all('form'):
            value = self.read_form(form).get(name)
            if value is not None:
                return str(value)
        raise AssertionError(f'no field {name!r}')

    def text(self) -> str:
        """Returns what the page says."""
        return ' '.join(self.page.get_text(' ').split())

    def heading(self) -> str:
        """Returns the page's heading."""
        found = self.page.find('h1')
        return '' if found is None else found.get_text().strip()

    def error(self, name: str) -> str:
        """Returns the error beside a field, or ''."""
        found = self.page.find(id=f'{name}-error')
        return '' if found is None else found.get_text().strip()

    def confirmations(self) -> list[str]:
        """Returns the keys of the dangers to confirm."""
        boxes = self.page.find_all('input', {'name': 'confirm'})
        return [str(box['value']) for box in boxes]
